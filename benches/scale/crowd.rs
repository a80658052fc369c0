//! Many hollow managers in one process, spread over a few threads.

use super::hollow::{Manager, News, Order, Plan, Sighting};
use super::row::Failure;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::mpsc as orders;
use tokio::task::JoinSet;

/// Threads that the managers share; the feed has one of its own.
const THREADS: usize = 4;
/// Longest wait for what all managers are to tell.
const PATIENCE: Duration = Duration::from_secs(120);

/// Managers at work; they end when this is dropped.
pub(super) struct Crowd {
    orders: Vec<orders::UnboundedSender<Order>>,
    news: mpsc::Receiver<News>,
    threads: Vec<JoinHandle<()>>,
    /// When the first of them was started.
    pub began: Instant,
}

/// What statements came to at all managers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Service {
    /// Attempts handed to engines.
    pub asked: usize,
    /// Those among them whose engine had ended.
    pub asked_of_ended: usize,
}

impl Crowd {
    /// Starts so many managers at once; each begins without a list.
    pub(super) fn start(plan: &Plan, managers: usize) -> Result<Crowd, Failure> {
        let (tell, news) = mpsc::channel();
        let mut senders = Vec::new();
        let mut shares: Vec<Vec<_>> = (0..THREADS.min(managers)).map(|_| Vec::new()).collect();
        for ordinal in 0..managers {
            let (sender, receiver) = orders::unbounded_channel();
            senders.push(sender);
            shares[ordinal % THREADS].push((ordinal as u32, receiver));
        }
        let began = Instant::now();
        let mut threads = Vec::new();
        for share in shares {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            let (plan, tell) = (plan.clone(), tell.clone());
            threads.push(
                std::thread::Builder::new()
                    .name("managers".to_owned())
                    .spawn(move || {
                        runtime.block_on(async {
                            let mut running = JoinSet::new();
                            for (ordinal, orders) in share {
                                running.spawn(Manager::run(
                                    plan.clone(),
                                    ordinal,
                                    tell.clone(),
                                    orders,
                                ));
                            }
                            while running.join_next().await.is_some() {}
                        });
                    })?,
            );
        }
        Ok(Crowd {
            orders: senders,
            news,
            threads,
            began,
        })
    }

    /// How many there are.
    pub(super) fn size(&self) -> usize {
        self.orders.len()
    }

    /// Waits until an event is in force at all of them. Earlier events that some are told again or late are passed by.
    pub(super) fn gather(&self, number: u64) -> Result<Vec<Sighting>, Failure> {
        self.collect(|news| match news {
            News::Event(sighting) if sighting.number == number => Some(sighting),
            _ => None,
        })
    }

    /// Lets each take so many statements in.
    pub(super) fn serve(&self, requests: u32) -> Result<Service, Failure> {
        self.order(Order::Serve(requests));
        let all = self.collect(|news| match news {
            News::Served {
                asked,
                asked_of_ended,
            } => Some(Service {
                asked,
                asked_of_ended,
            }),
            _ => None,
        })?;
        let sum = |of: fn(&Service) -> usize| all.iter().map(of).sum();
        Ok(Service {
            asked: sum(|s| s.asked),
            asked_of_ended: sum(|s| s.asked_of_ended),
        })
    }

    /// Processor time of the thread of the first manager.
    pub(super) fn usage(&self) -> Result<Duration, Failure> {
        self.order(Order::Usage);
        let all = self.collect(|news| match news {
            News::Usage(processor) => Some(processor),
            _ => None,
        })?;
        Ok(all.into_iter().max().unwrap_or_default())
    }

    fn order(&self, order: Order) {
        for orders in &self.orders {
            let _ = orders.send(order);
        }
    }

    /// One piece of news from each.
    fn collect<T>(&self, wanted: impl Fn(News) -> Option<T>) -> Result<Vec<T>, Failure> {
        let until = Instant::now() + PATIENCE;
        let mut all = Vec::with_capacity(self.size());
        while all.len() < self.size() {
            let left = until.saturating_duration_since(Instant::now());
            let late = |_| {
                Failure::Broken(format!(
                    "{} of {} managers told in time",
                    all.len(),
                    self.size()
                ))
            };
            let news = self.news.recv_timeout(left).map_err(late)?;
            all.extend(wanted(news));
        }
        Ok(all)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.orders.clear();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
